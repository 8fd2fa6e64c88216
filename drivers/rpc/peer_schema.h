#pragma once

// The generated header does not compile under the project's warnings, so it is included through this one only.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"
#include "drivers/rpc/peer.capnp.h"  // IWYU pragma: export
#pragma GCC diagnostic pop
