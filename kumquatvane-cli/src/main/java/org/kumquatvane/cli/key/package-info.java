/** The key command. */
@NullMarked
package org.kumquatvane.cli.key;

import org.jspecify.annotations.NullMarked;
