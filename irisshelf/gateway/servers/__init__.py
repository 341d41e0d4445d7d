"""Backend servers as one instance sees and reaches them."""
