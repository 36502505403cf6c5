/** Spreads documents and key withdrawals between VMs. */
@NullMarked
package org.kumquatvane.distribution;

import org.jspecify.annotations.NullMarked;
