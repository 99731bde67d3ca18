"""The lab: stand-ins, fleets, faults, experiments and the simulator."""
