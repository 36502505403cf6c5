/** Records, horizons and coordination behind the ledgers. */
@NullMarked
package org.kumquatvane.operations.internal;

import org.jspecify.annotations.NullMarked;
