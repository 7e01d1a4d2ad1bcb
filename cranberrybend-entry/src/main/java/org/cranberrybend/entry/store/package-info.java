/** What the process reads from the key-value store and keeps in step with it. */
package org.cranberrybend.entry.store;
