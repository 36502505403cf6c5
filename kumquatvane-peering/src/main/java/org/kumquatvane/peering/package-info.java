/** TCP framing with MessagePack between VMs. */
@NullMarked
package org.kumquatvane.peering;

import org.jspecify.annotations.NullMarked;
