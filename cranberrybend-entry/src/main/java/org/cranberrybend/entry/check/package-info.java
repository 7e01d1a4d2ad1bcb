/** The check of a configuration before it is put in force: findings, and the difference from the version in force. */
package org.cranberrybend.entry.check;
