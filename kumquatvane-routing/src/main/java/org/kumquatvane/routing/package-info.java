/** Matches methods and paths to routes. */
@NullMarked
package org.kumquatvane.routing;

import org.jspecify.annotations.NullMarked;
