"""Adapter to the platform: the only package that uses its field names and HTTP calls."""
