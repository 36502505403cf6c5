/** The path of one request through all decisions. */
@NullMarked
package org.kumquatvane.engine;

import org.jspecify.annotations.NullMarked;
