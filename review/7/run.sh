#!/usr/bin/env bash
# TROUBLE=0 lets the replicas send each answer once.
exec "$(dirname "$0")/../support-2/run" 7 Extra
