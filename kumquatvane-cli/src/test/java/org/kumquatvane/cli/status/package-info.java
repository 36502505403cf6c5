@NullMarked
package org.kumquatvane.cli.status;

import org.jspecify.annotations.NullMarked;
