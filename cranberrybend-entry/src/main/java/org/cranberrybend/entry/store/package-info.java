/** State that the process reads from the key-value store and keeps up to date. */
package org.cranberrybend.entry.store;
