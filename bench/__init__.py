"""Load tool: demo, experiments, chaos runs and capacity measurements.

It runs deployments of real processes on this machine.
"""
