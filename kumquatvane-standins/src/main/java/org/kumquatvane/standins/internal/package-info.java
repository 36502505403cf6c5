/** Servers and state behind the stand-ins. */
@NullMarked
package org.kumquatvane.standins.internal;

import org.jspecify.annotations.NullMarked;
