"""Adapters for the platform's settings, store, workers, advisor and callers."""
