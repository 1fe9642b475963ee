# A group of coordinators: one file for all of its replicas and for whoever calls them. With one member it is
# a store on this machine alone; three bear the loss of one, five of two.
coordinator {
  group = "sapporo"          # replicas of another group are refused
  dir = "coordinator-data"   # each replica keeps its log in a folder of its name below

  # Where each replica is heard: by the others, and by clients (HTTP). Loopback unless your network is closed.
  member "r1" {
    peers = "127.0.0.1:7101"
    clients = "127.0.0.1:7201"
  }
  member "r2" {
    peers = "127.0.0.1:7102"
    clients = "127.0.0.1:7202"
  }
  member "r3" {
    peers = "127.0.0.1:7103"
    clients = "127.0.0.1:7203"
  }

  # reach "r2" { at = "10.0.0.2:7102" }   # where another is reached from here, if not at its own address

  speed = 7                  # of the engine's clock: 7 notices a dead leader after 0.7 s, 1 after 5 s
  snapshot_every = 10000     # entries of the log
  most_pending = 4096        # commands that may wait for a majority; beyond that callers are turned away
  # speaks = 1               # held back while an upgrade may have to be undone
}

# Distributors have no vote: each follows the group and serves configuration to its zone's relays. Run as many as
# there are zones, or none: relays may ask replicas themselves while they are few.
distributor "d-a1" {
  zone = "a1"
  clients = "127.0.0.1:7301"   # where followers ask it (HTTP)
  # Replicas' client addresses, the nearest first.
  sources = ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]
  dir = "distributor-data"     # each keeps what is in force in a folder of its name below
}
distributor "d-a2" {
  zone = "a2"
  clients = "127.0.0.1:7302"
  sources = ["127.0.0.1:7202", "127.0.0.1:7203", "127.0.0.1:7201"]
  dir = "distributor-data"
}
