/** Decides whether an attempt is made again. */
@NullMarked
package org.kumquatvane.retries;

import org.jspecify.annotations.NullMarked;
