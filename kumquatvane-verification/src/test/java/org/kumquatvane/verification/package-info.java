@NullMarked
package org.kumquatvane.verification;

import org.jspecify.annotations.NullMarked;
