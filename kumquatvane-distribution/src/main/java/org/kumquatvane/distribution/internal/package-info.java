/** Parts of distribution that no other module uses. */
@NullMarked
package org.kumquatvane.distribution.internal;

import org.jspecify.annotations.NullMarked;
