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

# Configuration by revision from sources that the fleet shares, in place of discovery. Leave the block out and it is not
# loaded at all, as on the platform. docs/operators/configuration.md tells what is taken from it.
# configuration {
#   sources = ["127.0.0.1:7300", "127.0.0.1:7301"]   # the preferred one first, usually the distributor of the relay's zone
#   zone    = "a"                                    # the zone that this relay runs in
#   name    = "n0"                                   # what sources call it (default: the relay's name)
#   dir     = "/var/lib/saltstage/n0-configuration"  # one directory a relay, not that of 'store'; made if it is not there
# }

# AMQP 1.0 beside the lines. Leave the block out and nothing listens, as on the platform. docs/operators/amqp.md tells what
# each limit protects. Nobody may come in unless 'secrets' or 'anonymous_tenant' is named.
# amqp {
#   listen               = "127.0.0.1:5672"
#   backend_port         = 5672       # on each backend's host; 0: the port that discovery tells
#   anonymous_tenant     = "kitaden-charge"
#   secrets              = "/etc/saltstage/amqp.secrets"   # a line USER:SECRET each
#   loops                = 1
#   connections          = 200
#   sessions             = 256
#   links_per_connection = 1000
#   links                = 10000
#   unsettled            = 500        # deliveries a link without an outcome
#   frame                = "16KiB"
#   link_bytes           = "1MiB"     # held for a link, and its session's window
#   repeat_bytes         = "128KiB"   # kept of a delivery so that it can be sent to another backend
#   attaches_per_second  = 500        # a connection
#   idle                 = "60s"
#   backend_idle         = "4s"
#   open_within          = "3s"
#   delivery_within      = "10s"
#   settle_within        = "700ms"
#   key_property         = "station"  # link properties that go before the address and the link's name
#   group_property       = "member"
#   deadline_property    = "deadline-ms"
# }
