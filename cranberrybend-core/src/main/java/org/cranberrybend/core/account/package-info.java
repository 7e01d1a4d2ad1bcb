/** Client accounts, templates, API keys, request classes, models and routes. */
package org.cranberrybend.core.account;
