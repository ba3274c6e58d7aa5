"""What `wheatroute.decide.Balancer` is made of: the types at its border and one module for each concern.

The way of an event: `request_lifecycle` has the account of a new request made by `request_admission`, and
`attempt_sender` send it, or `queue_management` keep it waiting; `hedging` and `retry_rules` say when it is
sent again, `final_answers` ends it. `server_subset` holds the servers that the node sends to,
`server_selection` chooses among them. `membership_updates` and `settings_updates` take in what the node is
told, `outcome_recorder` and `load_reports` what it measures; `periodic_tasks` is the tick. `components` joins
them.
"""
