"""Tests; each module is named like the one that it exercises."""
