/** Connections between VMs; used by no other module. */
@NullMarked
package org.kumquatvane.peering.internal;

import org.jspecify.annotations.NullMarked;
