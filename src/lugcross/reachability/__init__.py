# SPDX-License-Identifier: Apache-2.0
"""Which failure domains this process can reach."""

from lugcross.reachability.domain_reachability import DomainReachability
from lugcross.reachability.domain_reachability import MAX_REPORTED_DOMAINS
from lugcross.reachability.domain_reachability import Probe

__all__ = ["DomainReachability", "MAX_REPORTED_DOMAINS", "Probe"]
