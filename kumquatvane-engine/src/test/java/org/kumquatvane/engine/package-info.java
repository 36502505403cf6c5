@NullMarked
package org.kumquatvane.engine;

import org.jspecify.annotations.NullMarked;
