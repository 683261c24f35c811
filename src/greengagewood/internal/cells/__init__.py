"""Cells: who owns a cell, and how its owner places tasks on the workers of the cell."""
