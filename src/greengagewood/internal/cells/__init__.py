"""Cells: who owns one, and what its owner decides."""
