"""The users' platform: its settings, store, workers and callers, translated and nothing more."""
