/** TCP connections between VMs that carry length-prefixed MessagePack messages. */
@NullMarked
package org.kumquatvane.peering;

import org.jspecify.annotations.NullMarked;
