/** VM list, peer evidence, agreed views and rendezvous hashing. */
@NullMarked
package org.kumquatvane.membership;

import org.jspecify.annotations.NullMarked;
