"""Translation between the old interface's requests and results and the new interface's, free of I/O and clock.

mapping: the mapping of classes and fields, as data, checked at load. convert: conversion both ways, with the values
that were lost. problems: the new side's statuses, and what they prove.
"""
