/** Distributes documents, key withdrawals, VM lists and configuration items between VMs. */
@NullMarked
package org.kumquatvane.distribution;

import org.jspecify.annotations.NullMarked;
