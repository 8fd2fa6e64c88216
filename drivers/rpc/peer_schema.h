#pragma once

// Wraps the generated header, which does not compile with this project's warnings. Other files include this wrapper.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"
#include "drivers/rpc/peer.capnp.h"  // IWYU pragma: export
#pragma GCC diagnostic pop
