/** Implementation classes of the distribution module. */
@NullMarked
package org.kumquatvane.distribution.internal;

import org.jspecify.annotations.NullMarked;
