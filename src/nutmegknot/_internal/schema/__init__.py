"""Schema files and the code generated from them."""
