/** Ledgers that prevent non-idempotent operations from running more than once. */
@NullMarked
package org.kumquatvane.operations;

import org.jspecify.annotations.NullMarked;
