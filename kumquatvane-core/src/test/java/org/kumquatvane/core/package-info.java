@NullMarked
package org.kumquatvane.core;

import org.jspecify.annotations.NullMarked;
