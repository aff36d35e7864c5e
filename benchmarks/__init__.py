"""Measurements: policy beside baselines, and slopes for the capacity page."""
