# The operator's settings: 'saltstage serve --settings FILE'. Whatever is not named here is off, or as shown.
# 'saltstage check --settings FILE' says whether a file is sound.

log {
  format = "text"   # or "json": one JSON object a line
  level  = "info"   # debug, info, warn or error: the least that is written
}

# State that outlives a restart. Leave the block out and the relay keeps nothing, as on the platform.
# store {
#   dir             = "/var/lib/saltstage"   # one directory a relay; made if it is not there
#   segment         = "1MiB"                 # size of a log file, 64KiB to 256MiB
#   every           = "2s"                   # how often what was learnt is written
#   learnt_for      = "10m"                  # what is older is not taken in at a start
#   configurations  = 50                     # accepted configurations kept
#   compaction_rate = "4MiB"                 # bytes a second that compaction may copy
# }
