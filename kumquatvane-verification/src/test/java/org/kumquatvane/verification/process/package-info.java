@NullMarked
package org.kumquatvane.verification.process;

import org.jspecify.annotations.NullMarked;
