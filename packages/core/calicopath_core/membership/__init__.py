"""Know the other boxes, and spread configuration among them."""
