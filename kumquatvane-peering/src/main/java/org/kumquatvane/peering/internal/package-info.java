/** Connections between VMs; internal to this module. */
@NullMarked
package org.kumquatvane.peering.internal;

import org.jspecify.annotations.NullMarked;
