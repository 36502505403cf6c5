/** Records that keep non-idempotent operations from running twice. */
@NullMarked
package org.kumquatvane.operations;

import org.jspecify.annotations.NullMarked;
