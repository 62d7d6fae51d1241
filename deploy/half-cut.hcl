# The link monitor: tracks which links of a controller work, and restricts what it may do while some are down.
# Used with `--operator deploy/half-cut.hcl`; docs/operating-links.md says what each state means.
links {
  mode = "enforce"  # "observe" reports and restricts nothing; "off" is the default

  down_after_reports    = 1.5   # a link is down once it has failed for this many heartbeat intervals
  recover_after_reports = 2     # and up again once it has worked for this many
  quiet_after_reports   = 4     # unknown after this many without traffic
  flap_bound            = 8     # a flapping link must work for up to this many times as long to be up again
  probe_share           = 0.02  # the share of the cloud's call rate for probes by controllers other than the leader
  move_backoff_bound    = 8     # the longest backoff between hand-overs for the same cause, in shard move periods
}
