"""A scheduler for latency-critical and batch work side by side on shared hosts."""

__version__ = "0.1.0"

__all__ = ["__version__"]
