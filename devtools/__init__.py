"""Tools for those who develop greengagewood; nothing here is part of the product."""
