/** Record tables, horizons and coordination of the operation ledgers. */
@NullMarked
package org.kumquatvane.operations.internal;

import org.jspecify.annotations.NullMarked;
