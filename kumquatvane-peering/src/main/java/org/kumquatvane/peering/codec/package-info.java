/** Encoding of peer messages as MessagePack maps, with one codec class per message. */
@NullMarked
package org.kumquatvane.peering.codec;

import org.jspecify.annotations.NullMarked;
