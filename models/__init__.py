"""Small specifications of the core protocol, for the model checker.

An entry VM is a VM that runs the product's server process. Entry VMs and
workers are modelled only as far as a protocol needs them. A guard is a
condition in the code that the protocol needs; the checker disables one at a
time and must then find a counterexample.
"""
