/** Encoding of peer messages as MessagePack maps, one small class per message. */
@NullMarked
package org.kumquatvane.peering.codec;

import org.jspecify.annotations.NullMarked;
