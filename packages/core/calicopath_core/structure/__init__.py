"""Define the data types that all other packages share."""
