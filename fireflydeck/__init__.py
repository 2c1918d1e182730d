"""Fleet capacity and maintenance manager for small operations organisations."""

__version__ = "0.1.0"

__all__ = ["__version__"]
