@NullMarked
package org.kumquatvane.standins;

import org.jspecify.annotations.NullMarked;
