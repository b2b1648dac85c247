"""Schedule stage calls and engine runs for the boxes that share them."""
