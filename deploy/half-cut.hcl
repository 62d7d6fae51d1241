# The link monitor: which links of a controller work, and what it may do without those that do not.
# Used with `--operator deploy/half-cut.hcl`; docs/operating-links.md says what each state means.
links {
  mode = "enforce"  # "observe" reports and restricts nothing; "off" is the default

  down_after_reports    = 1.5   # a link is down once it has failed for so many report intervals
  recover_after_reports = 2     # and up again once it has worked for so many
  quiet_after_reports   = 4     # unknown after so many without traffic
  flap_bound            = 8     # a flapping link takes up to so many times as long to be trusted again
  probe_share           = 0.02  # of the cloud's rate, for probes by controllers that do not lead
  move_backoff_bound    = 8     # hand-overs for the same cause wait up to so many shard periods
}
