/** Retry policies and deadlines of attempts. */
@NullMarked
package org.kumquatvane.retries;

import org.jspecify.annotations.NullMarked;
