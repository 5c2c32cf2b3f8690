"""Puts a sender together: the platform's (`platform`) or an operator's (`operator`); what both share is
`base`.
"""
